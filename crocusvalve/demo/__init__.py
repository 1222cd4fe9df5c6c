"""All roles in one process on loopback ports: the embedded default."""

from crocusvalve.demo._keys import make_customer_key, make_operator_key
from crocusvalve.demo._world import DemoSpec, DemoWorld

__all__ = ["DemoSpec", "DemoWorld", "make_customer_key", "make_operator_key"]
