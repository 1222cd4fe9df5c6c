"""Delivery of complete answers: frames are buffered at the agent and assembled at the entry."""

from crocusvalve.answers._assembler import AnswerAssembler
from crocusvalve.answers._buffer import AnswerBuffer, AnswerStore

__all__ = ["AnswerAssembler", "AnswerBuffer", "AnswerStore"]
