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
    # As a server does: connections of an earlier one may still be in TIME_WAIT.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind(("127.0.0.1", context.used))
    sock.listen()


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


@given("a port whose last connection is in TIME_WAIT and that becomes used again")
def given_time_wait(context):
    (context.port,) = find_free_ports(1)
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", context.port))
    listener.listen()
    client = socket.create_connection(("127.0.0.1", context.port))
    server, _ = listener.accept()
    # The side that closes first keeps its end in TIME_WAIT, here the one of the port.
    server.close()
    client.close()
    listener.close()
    context.used = socket.socket()
    context.add_cleanup(context.used.close)
    context.used.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    context.used.bind(("127.0.0.1", context.port))
    context.used.listen()


@when("a free port is searched from there")
def when_searched(context):
    (context.found,) = find_free_ports(1)


@then("another port is found")
def then_another(context):
    assert context.found != context.port
