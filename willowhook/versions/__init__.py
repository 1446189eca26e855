"""What proxies are to run, as numbered versions, and what each is known to run.  No I/O and no clock."""
