"""The daemon of an entry host: carries out what the core decides."""
