"""Changes of an answer's head after which it is no head of HTTP/1.1."""


def replace_status(text):
    """Return a change of the status line's code and reason."""
    return lambda head: head.replace(b" 200 X\r\n", b" " + text + b"\r\n", 1)


def replace_version(text):
    """Return a change of the status line's version."""
    return lambda head: head.replace(b"HTTP/1.1", text, 1)


def add_line(line):
    """Return a change that adds a line after the status line."""
    return lambda head: head.replace(b"\r\n", b"\r\n" + line + b"\r\n", 1)


def add_second_framing(head):
    """Add a length to a chunked reply, and a whole chunked body to one with a length."""
    if b"chunked" in head:
        return add_line(b"Content-Length: 5")(head)
    return add_line(b"Transfer-Encoding: chunked")(head) + b"5\r\nwrong\r\n0\r\n\r\n"


MALFORMED_HEADS = {
    "status 000": replace_status(b"000 X"),
    "status 000 without a reason": replace_status(b"000"),
    "status 099": replace_status(b"099 X"),
    "status 101": replace_status(b"101 X"),
    "status 20": replace_status(b"20 X"),
    "status 2000": replace_status(b"2000 X"),
    "status +20": replace_status(b"+20 X"),
    "a status with a tab": replace_status(b"2\t0 X"),
    "status 600": replace_status(b"600 X"),
    "status 999": replace_status(b"999 X"),
    "version HTTP/2.0": replace_version(b"HTTP/2.0"),
    "version HTTP/0.9": replace_version(b"HTTP/0.9"),
    "a name with a blank in it": add_line(b"X Odd: value"),
    "a name with a blank after it": add_line(b"X-Odd : value"),
    "a name with a blank before it": add_line(b" X-Odd: value"),
    "a name with a tab": add_line(b"X\tOdd: value"),
    "a name with byte 0": add_line(b"X\x00Odd: value"),
    "a name with byte 1": add_line(b"X\x01Odd: value"),
    "a name with a carriage return": add_line(b"X\rOdd: value"),
    "a name with byte 127": add_line(b"X\x7fOdd: value"),
    "a name in Latin-1": add_line(b"X-\xd6dd: value"),
    "an empty name": add_line(b": value"),
    "a line without a colon": add_line(b"X-Odd"),
    "a value with byte 1": add_line(b"X-Odd: a\x01b"),
    "a value with byte 127": add_line(b"X-Odd: a\x7fb"),
    "a length and chunks": add_second_framing,
}
