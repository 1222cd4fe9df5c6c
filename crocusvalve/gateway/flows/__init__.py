"""The way of a request, from its admission to the end of its answer."""
