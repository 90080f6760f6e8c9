"""Tests of a host's stop that start no process."""
