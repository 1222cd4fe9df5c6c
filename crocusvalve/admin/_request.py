"""Longest body of an operator's call, which is not that of the callers' API."""

from typing import Any

from quart.wrappers import Request

__all__ = ["MAX_BODY_BYTES", "PREFIX", "make_request_class"]

PREFIX = "/admin/v1"
MAX_BODY_BYTES = 5 * 2**20


def make_request_class(base: type[Request]) -> type[Request]:
    """Make a request class whose longest body depends on the path.

    Parameters
    ----------
    base : type
        Request class of the application.

    Returns
    -------
    type
        Subclass that admits ``MAX_BODY_BYTES`` under ``PREFIX`` and the application's limit
        elsewhere.
    """

    class PathLimitedRequest(base):
        """Request with a limit of its own for operators' calls."""

        def __init__(
            self,
            method: str,
            scheme: str,
            path: str,
            *args: Any,
            max_content_length: int | None = None,
            **kwargs: Any,
        ):
            limit = MAX_BODY_BYTES if path.startswith(f"{PREFIX}/") else max_content_length
            super().__init__(method, scheme, path, *args, max_content_length=limit, **kwargs)

    return PathLimitedRequest
