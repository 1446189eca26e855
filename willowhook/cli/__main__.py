"""`python -m willowhook.cli`, the same as the `willowhook` command."""

from .main import main

main()
