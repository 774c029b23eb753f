/* eslint-disable no-await-in-loop -- names of the wire; steps in series */
/**
 * A proxy between gateways, which can make their open connections silent.
 *
 * Every gateway has its own address and an outer one, at which the others reach it. Gateways tell each other their addresses, so that the
 * proxy replaces them in the messages: both have the same length.
 */

import {Buffer} from 'node:buffer';
import dgram from 'node:dgram';
import net from 'node:net';

const lengthBytes = 4;

const replaceAll = (bytes, from, to) => {
	for (let index = bytes.indexOf(from); index !== -1; index = bytes.indexOf(from, index + to.length)) {
		bytes.write(to, index, 'latin1');
	}
};

/** Starts the proxy for `machines` ({address, outerAddress}), whose gateways use `peerPort`. */
export const startPeerProxy = async (run, machines, peerPort) => {
	const pairs = new Set();
	const datagramSockets = new Map();

	/** Replaces the addresses in a message to the gateway `receiver`. */
	const translate = (message, receiver) => {
		const bytes = Buffer.from(message);
		for (const {address, outerAddress} of machines) {
			if (address === receiver.address) {
				replaceAll(bytes, outerAddress, address);
			} else {
				replaceAll(bytes, address, outerAddress);
			}
		}

		return bytes;
	};

	const forward = (incoming, receiver) => {
		const sender = machines.find(({address}) => address === incoming.remoteAddress);
		if (sender === undefined) {
			incoming.destroy();
			return;
		}

		const outgoing = net.connect({host: receiver.address, port: peerPort, localAddress: sender.outerAddress});
		const pair = {isSilent: false, sockets: [incoming, outgoing], name: `${sender.name} to ${receiver.name}`};
		pairs.add(pair);
		let pending = Buffer.alloc(0);
		incoming.on('data', data => {
			if (pair.isSilent) {
				pair.lostBytes = (pair.lostBytes ?? 0) + data.length;
				return;
			}

			pending = Buffer.concat([pending, data]);
			while (pending.length >= lengthBytes && pending.length >= lengthBytes + pending.readUInt32BE(0)) {
				const end = lengthBytes + pending.readUInt32BE(0);
				outgoing.write(Buffer.concat([pending.subarray(0, lengthBytes), translate(pending.subarray(lengthBytes, end), receiver)]));
				pending = pending.subarray(end);
			}
		});
		for (const [socket, other] of [[incoming, outgoing], [outgoing, incoming]]) {
			socket.setNoDelay(true);
			socket.on('error', () => undefined);
			socket.on('end', () => {
				if (!pair.isSilent) {
					other.end();
				}
			});
			socket.on('close', () => {
				if (!pair.isSilent) {
					pairs.delete(pair);
					other.destroy();
				}
			});
		}
	};

	for (const receiver of machines) {
		const server = net.createServer({allowHalfOpen: true}, incoming => {
			forward(incoming, receiver);
		});
		await new Promise((resolve, reject) => {
			server.once('error', reject);
			server.listen(peerPort, receiver.outerAddress, resolve);
		});
		const datagrams = dgram.createSocket('udp4');
		await new Promise((resolve, reject) => {
			datagrams.once('error', reject);
			datagrams.bind(peerPort, receiver.outerAddress, resolve);
		});
		datagramSockets.set(receiver.outerAddress, datagrams);
		datagrams.on('error', () => undefined);
		datagrams.on('message', (message, {address}) => {
			const sender = machines.find(machine => machine.address === address);
			if (sender !== undefined) {
				datagramSockets.get(sender.outerAddress)?.send(translate(message, receiver), peerPort, receiver.address, () => undefined);
			}
		});
		run.defer(() => {
			server.close();
			datagrams.close();
		});
	}

	run.defer(() => {
		for (const {sockets} of pairs) {
			for (const socket of sockets) {
				socket.destroy();
			}
		}
	});

	return {
		/** Makes the open connections silent for good; returns their names. Connections that are opened later work. */
		silence() {
			const open = [...pairs].filter(({isSilent}) => !isSilent);
			for (const pair of open) {
				pair.isSilent = true;
			}

			return open.map(({name}) => name).toSorted();
		},
		/** Bytes that were written to silent connections, by name. */
		lostBytes: () => [...pairs].filter(({isSilent}) => isSilent).map(({name, lostBytes = 0, sockets: [incoming]}) => `${name}: ${lostBytes}${incoming.destroyed ? ' (closed by the sender)' : ''}`).toSorted(),
		openNames: () => [...pairs].filter(({isSilent}) => !isSilent).map(({name}) => name).toSorted(),
	};
};
