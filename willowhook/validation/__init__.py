"""Update validation: judges each update by its effect before it leaves. No I/O, no clock."""
