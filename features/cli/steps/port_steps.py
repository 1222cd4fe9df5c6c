"""Steps for the search for free ports."""

import socket

from behave import given, then, when

from crocusvalve.demo import find_free_ports

KERNEL_RANGE = "/proc/sys/net/ipv4/ip_local_port_range"


@given("the next free port becomes used")
def given_in_use(context):
    (context.used,) = find_free_ports(1)
    sock = socket.socket()
    context.add_cleanup(sock.close)
    sock.bind(("127.0.0.1", context.used))


@when("{n:d} free ports are found")
def when_found(context, n):
    context.ports = find_free_ports(n)


@then("they are distinct and below the range that the kernel uses for outgoing connections")
def then_distinct(context):
    assert len(set(context.ports)) == len(context.ports)
    with open(KERNEL_RANGE) as file:
        first = int(file.read().split()[0])
    assert max(context.ports) < first, (max(context.ports), first)


@then("it is a different port")
def then_different(context):
    assert context.ports[0] != context.used
