"""Deterministic decisions: state, message and time in; state and actions out.

Nothing here does I/O, reads a clock or draws random numbers. Times are
monotonic milliseconds that the services pass in.
"""
