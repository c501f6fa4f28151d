#!/bin/sh
# Regenerates the XDR code of common/peer.x; its output is committed.
set -eu
cd "$(dirname "$0")/../common"
rpcgen -N -C -h peer.x \
  | sed 's|_PEER_H_RPCGEN|COMMON_PEER_H|' \
  >../include/common/peer.h
rpcgen -N -C -c peer.x | sed 's|#include "peer.h"|#include "common/peer.h"|' \
  >peer_xdr.c
