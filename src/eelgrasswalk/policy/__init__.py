"""Decision logic without I/O; clocks and randomness are passed in."""
