"""Demo: all roles, with stand-ins, in one process on loopback ports."""

from crocusvalve.demo._cluster import DemoCluster, DemoSpec, find_free_ports, load_example
from crocusvalve.demo._keys import make_customer_key, make_operator_key
from crocusvalve.demo._run import run_demo

__all__ = [
    "DemoSpec",
    "DemoCluster",
    "find_free_ports",
    "load_example",
    "make_customer_key",
    "make_operator_key",
    "run_demo",
]
