"""Update validation: checks the effect of each update before it is sent. No I/O, no clock."""
