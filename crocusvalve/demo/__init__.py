"""All roles in one process on loopback ports: the embedded default."""

from crocusvalve.demo._keys import make_customer_key, make_operator_key
from crocusvalve.demo._run import run_demo
from crocusvalve.demo._world import DemoSpec, DemoWorld, find_free_ports, load_example

__all__ = [
    "DemoSpec",
    "DemoWorld",
    "find_free_ports",
    "load_example",
    "make_customer_key",
    "make_operator_key",
    "run_demo",
]
