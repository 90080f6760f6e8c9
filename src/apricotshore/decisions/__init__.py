"""Deterministic decision logic: from state, message and time to state and actions.

Nothing in this package does I/O, reads a clock or draws random numbers. Times are
monotonic milliseconds, passed in by the services.
"""
