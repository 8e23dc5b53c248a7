"""Scheduling logic of mimosaridge: deterministic, without I/O or clock."""
