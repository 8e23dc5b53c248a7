"""Job scheduler: one owner places the tasks of jobs on workers that it holds.

The entry point is `reducer.reduce(state, event)`. This package does no I/O.
"""
