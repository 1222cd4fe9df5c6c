"""Limit on the body size of the operators' API, separate from that of the customers' API."""

from typing import Any

from quart.wrappers import Request

__all__ = ["MAX_BODY_BYTES", "PREFIX", "make_request_class"]

PREFIX = "/admin/v1"
MAX_BODY_BYTES = 5 * 2**20


def make_request_class(base: type[Request]) -> type[Request]:
    """Return a request class whose limit on the body size depends on the path.

    Parameters
    ----------
    base : type
        Request class of the application.

    Returns
    -------
    type
        Subclass that allows ``MAX_BODY_BYTES`` under ``PREFIX`` and the application's limit
        elsewhere.
    """

    class PathLimitedRequest(base):
        """Request with a separate body size limit for the operators' API."""

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
