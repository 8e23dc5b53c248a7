"""Jobs of many tasks: one owner places them on workers that it holds.

`reducer.reduce(state, event)` is the single door. Nothing here does I/O.
"""
