"""Decision logic of mimosaridge: no I/O, no clock, no hidden randomness."""
