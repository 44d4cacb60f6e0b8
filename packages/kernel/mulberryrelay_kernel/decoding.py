"""Decodes messages of other processes, which may send anything."""

from typing import TypeVar

import msgspec

Message = TypeVar("Message")


def decode_json(content: bytes, message_type: type[Message]) -> Message:
    """Return the message in a JSON document.

    Raises:
        msgspec.MsgspecError: the document is malformed, nested too deeply, or not a
            message of this type.
    """
    try:
        return msgspec.json.decode(content, type=message_type)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error


def decode_msgpack(content: bytes | bytearray, message_type: type[Message]) -> Message:
    """Return the message in a MessagePack document; raises as ``decode_json`` does."""
    try:
        return msgspec.msgpack.decode(content, type=message_type)
    except RecursionError as error:
        raise msgspec.DecodeError("nested too deeply") from error
