"""Fault-injection runs of test fleets on loopback: stand-in processes, faults and an invariant checker."""
