/**
 * A configuration as it travels between gateways: encoded and compressed once, and passed on as the bytes that arrived.
 *
 * One of 1,400 routes is 250 KB with its field names, which a host with a slow link can't hand to several peers in time.
 */

import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import type {FleetConfig} from '@egretwing/core';
import {decodeValue, encodeValue} from '@egretwing/node';
import {maxUnpackedConfigBytes} from './constants.ts';

/** Two fifths of the time of zlib's default, for a result that is three tenths longer. */
const compressionLevel = 1;

/** Bytes of the configurations that are in use. */
const packed = new WeakMap<FleetConfig, Uint8Array>();

/** The bytes of `config`. */
export const packConfig = (config: FleetConfig): Uint8Array => {
	const bytes = packed.get(config) ?? deflateRawSync(encodeValue(config), {level: compressionLevel});
	packed.set(config, bytes);
	return bytes;
};

/** The configuration in `bytes`; throws where they hold none. */
export const unpackConfig = (bytes: Uint8Array): FleetConfig => {
	const config = decodeValue(inflateRawSync(bytes, {maxOutputLength: maxUnpackedConfigBytes})).unwrap() as FleetConfig;
	packed.set(config, Buffer.from(bytes));
	return config;
};
