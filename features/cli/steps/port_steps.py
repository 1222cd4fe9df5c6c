"""Steps about free ports."""

import socket

from behave import given, then, when

from crocusvalve.demo import find_free_ports

KERNEL_RANGE = "/proc/sys/net/ipv4/ip_local_port_range"


@given("the next port is in use")
def given_in_use(context):
    (context.used,) = find_free_ports(1)
    sock = socket.socket()
    context.add_cleanup(sock.close)
    sock.bind(("127.0.0.1", context.used))


@when("{n:d} free ports are found")
def when_found(context, n):
    context.ports = find_free_ports(n)


@then("no two are equal and all are below those that the kernel gives to connections")
def then_apart(context):
    assert len(set(context.ports)) == len(context.ports)
    with open(KERNEL_RANGE) as file:
        first = int(file.read().split()[0])
    assert max(context.ports) < first, (max(context.ports), first)


@then("it is another one")
def then_another(context):
    assert context.ports[0] != context.used
