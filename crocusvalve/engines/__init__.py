"""Orders to engines to load and unload model versions."""

from crocusvalve.engines._loader import ModelLoader, OrderLoad, OrderUnload
from crocusvalve.engines._tables import EngineRow, LoaderTables

__all__ = ["EngineRow", "LoaderTables", "ModelLoader", "OrderLoad", "OrderUnload"]
