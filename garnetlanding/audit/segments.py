"""Encodes and decodes the on-disk format of audit segments. This module does no I/O.

A segment is eight magic bytes and a sequence of frames (docs/design/audit.md)::

    segment = "GLAUDIT1" frame(header) frame(record)*
    frame   = length (4 bytes) | CRC32C of the body (4 bytes) | body     both numbers big-endian
    header  = JSON {"head": instance, "life": incarnation, "segment": number, "before": hash, hexadecimal}
    record  = hash (16 bytes) | payload, a JSON object

A record's hash is BLAKE2b over the previous record's hash and its own payload, so that removing or replacing
a record breaks the chain. The header contains the hash of the last record of the previous segment, which is
16 zero bytes for the first segment of an incarnation.

A frame that is cut short by the end of the file is a torn tail: the process or its machine stopped while
writing it. A torn tail is valid only at the end of an incarnation's last segment. Anything else that cannot
be decoded is corruption.
"""

from __future__ import annotations

import json
import struct
from hashlib import blake2b

from crc32c import crc32c

from garnetlanding.audit.errors import CorruptSegmentError
from garnetlanding.audit.limits import LIMITS, AuditLimits
from garnetlanding.audit.records import Payload
from garnetlanding.audit.segment import HASH_BYTES, Segment

MAGIC = b"GLAUDIT1"
"""First bytes of every segment."""

_FRAME_PREFIX = struct.Struct(">II")


def encode_header(instance: str, incarnation: int, number: int, previous_hash: bytes) -> bytes:
    """Return the magic bytes and the header of a segment."""
    header = {"head": instance, "life": incarnation, "segment": number, "before": previous_hash.hex()}
    return MAGIC + _encode_frame(json.dumps(header, sort_keys=True).encode())


def encode_record(previous_hash: bytes, payload: Payload) -> tuple[bytes, bytes]:
    """Return a record's bytes, and its hash for encoding the next record."""
    payload_json = json.dumps(payload, sort_keys=True, separators=(",", ":")).encode()
    record_hash = _chained_hash(previous_hash, payload_json)
    return _encode_frame(record_hash + payload_json), record_hash


def read_segment(file: str, data: bytes, is_last: bool, limits: AuditLimits = LIMITS) -> Segment:
    """Decode the contents of a segment file.

    `file` is the name used in errors. `is_last` means that no segment of the incarnation follows; only then
    may the last record be cut short. Raises `CorruptSegmentError`, which contains the records before the
    corruption.
    """
    return _Decoder(file, data, is_last, limits).decode()


def _chained_hash(previous_hash: bytes, payload_json: bytes) -> bytes:
    return blake2b(previous_hash + payload_json, digest_size=HASH_BYTES).digest()


def _encode_frame(body: bytes) -> bytes:
    return _FRAME_PREFIX.pack(len(body), crc32c(body)) + body


class _Decoder:
    """Decodes one segment; `_offset` is the offset of the next frame."""

    def __init__(self, file: str, data: bytes, is_last: bool, limits: AuditLimits) -> None:
        self._file = file
        self._data = data
        self._is_last = is_last
        self._limits = limits
        self._offset = 0

    def decode(self) -> Segment:
        if not self._data.startswith(MAGIC):
            raise self._corrupt(0, "not a segment of an audit")
        self._offset = len(MAGIC)
        segment = self._decode_header()
        try:
            self._decode_records(segment)
        except CorruptSegmentError as error:
            error.intact = segment
            raise
        return segment

    def _corrupt(self, offset: int, reason: str) -> CorruptSegmentError:
        return CorruptSegmentError(self._file, offset, reason)

    def _decode_header(self) -> Segment:
        begin = self._offset
        body = self._read_frame()
        if body is None:
            raise self._corrupt(begin, "the header is cut short")
        try:
            header = json.loads(body)
            segment = Segment(
                instance=str(header["head"]),
                incarnation=int(header["life"]),
                number=int(header["segment"]),
                previous_hash=bytes.fromhex(header["before"]),
            )
        except (ValueError, KeyError, TypeError) as error:
            raise self._corrupt(begin, "the header has missing or invalid fields") from error
        segment.last_hash = segment.previous_hash
        return segment

    def _decode_records(self, segment: Segment) -> None:
        """Append each record as it is decoded, so that the records before a corruption are kept."""
        while self._offset < len(self._data):
            begin = self._offset
            body = self._read_frame()
            if body is None:
                if not self._is_last:
                    raise self._corrupt(begin, "cut short, and another segment follows")
                segment.torn_at = begin
                return
            record_hash = body[:HASH_BYTES]
            payload_json = body[HASH_BYTES:]
            if len(record_hash) < HASH_BYTES or _chained_hash(segment.last_hash, payload_json) != record_hash:
                raise self._corrupt(begin, "does not follow on the record before it")
            segment.records.append(self._decode_payload(begin, payload_json))
            segment.last_hash = record_hash

    def _decode_payload(self, begin: int, payload_json: bytes) -> Payload:
        try:
            payload = json.loads(payload_json)
        except ValueError as error:
            raise self._corrupt(begin, "the record is not valid JSON") from error
        if not isinstance(payload, dict):
            raise self._corrupt(begin, "the record is not a JSON object")
        return payload

    def _read_frame(self) -> bytes | None:
        """Return the body of the frame at the offset and advance past it; `None` if the file ends within it.

        A corrupt length can look like a file that ends too early. The two are distinguished by searching for
        a complete frame at any later offset: if there is one, the length is corrupt.
        """
        begin = self._offset
        if len(self._data) < begin + _FRAME_PREFIX.size:
            return None
        length, checksum = _FRAME_PREFIX.unpack_from(self._data, begin)
        end = begin + _FRAME_PREFIX.size + length
        body = self._data[begin + _FRAME_PREFIX.size : end]
        if end <= len(self._data) and crc32c(body) == checksum:
            self._offset = end
            return body
        if length > self._limits.record_bytes:
            raise self._corrupt(begin, f"a length of {length}")
        if end <= len(self._data):
            raise self._corrupt(begin, "the sum does not hold")
        if any(self._has_frame_at(offset) for offset in self._later_offsets(begin)):
            raise self._corrupt(begin, "does not read, and records stand behind it")
        return None

    def _later_offsets(self, begin: int) -> range:
        return range(begin + 1, len(self._data) - _FRAME_PREFIX.size)

    def _has_frame_at(self, offset: int) -> bool:
        length, checksum = _FRAME_PREFIX.unpack_from(self._data, offset)
        begin = offset + _FRAME_PREFIX.size
        end = begin + length
        if length <= HASH_BYTES or end > len(self._data):
            return False
        return bool(crc32c(self._data[begin:end]) == checksum)
