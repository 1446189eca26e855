"""The published forms of the file front: xDS v3 messages in proto3 JSON, to and from bytes.  No I/O."""
