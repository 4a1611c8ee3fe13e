#!/bin/sh
# Makes the committed XDR code again from src/protocol/messages.x (needs rpcgen; the build doesn't).
set -eu
cd "$(dirname "$0")/../src/protocol"
rm -f generated/messages.h generated/messages_xdr.c
rpcgen -h -o generated/messages.h messages.x
rpcgen -c -o generated/messages_xdr.c messages.x
sed -i 's/^#ifndef .*_H_RPCGEN$/#ifndef WICKBRIDGE_MESSAGES_H_RPCGEN/; s/^#define .*_H_RPCGEN$/#define WICKBRIDGE_MESSAGES_H_RPCGEN/' generated/messages.h
