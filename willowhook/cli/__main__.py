"""Entry point of `python -m willowhook.cli`, which is the same as the `willowhook` command."""

from .main import main

main()
