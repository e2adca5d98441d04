"""Codecs between typed messages and bytes, and the protobuf modules.

``python -m bench.generate`` generates the ``*_pb2*`` modules from proto/.
"""
