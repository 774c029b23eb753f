/** Process infrastructure around the core: sockets, frames, HTTP, settings, logs and the operators' interface. */

export {createProcessClock} from './clock.ts';
export {loadSettings, resolveConfig} from './settings.ts';
export type {SettingsIssue} from './settings.ts';
export {createLogger} from './logger.ts';
export type {Logger} from './logger.ts';
export {
	createFrameReader, decodeValue, encodeValue, encodeFrame, maxFrameBytes,
} from './frames.ts';
export type {FrameError, FrameReader} from './frames.ts';
export {createSealer} from './seal.ts';
export type {Sealer} from './seal.ts';
export {createConnection, maintainConnection} from './connection.ts';
export type {Connection, ConnectionHandlers, MaintainConnectionOptions} from './connection.ts';
export {
	listen, maxInformationalResponses, readJson, sendJson,
} from './http.ts';
export {createErrorBarrier} from './error-barrier.ts';
export type {ErrorBarrier, ErrorBarrierOptions} from './error-barrier.ts';
export {createGuardedServer, parseTarget} from './guarded-server.ts';
export type {GuardedHandler, GuardedServerOptions} from './guarded-server.ts';
export {createOperatorServer} from './operator.ts';
export type {OperatorHandler, OperatorOptions, OperatorServer} from './operator.ts';
export {surviveUncaught} from './uncaught.ts';
export {resetSocket} from './reset-socket.ts';
export {openWhenFree} from './ports.ts';
export type {OpenWhenFreeOptions} from './ports.ts';
export {onShutdownSignal} from './shutdown.ts';
export {runDaemon} from './main.ts';
export {digestKey} from './key-digest.ts';
export {isFinalStatusCode, isStatusCode} from './status.ts';
export {isSelfDelimited, forwardedHeaders} from './headers.ts';
export type {Headers} from './headers.ts';
export {bindDatagrams} from './datagrams.ts';
export {createPeerStreams} from './peer-streams.ts';
export type {PeerEndpoint, PeerStreams} from './peer-streams.ts';
export {
	discardUnreadBody, kindHeader, ranHeader, refuse,
} from './refusal.ts';
export {handleClientError} from './client-error.ts';
export type {ClientErrorResult} from './client-error.ts';
export {
	createLagMeter, createProcessMetrics, describeProcess, readResidentBytes,
} from './process-report.ts';
export type {LagMeter, ProcessFields, ProcessMetrics} from './process-report.ts';
export {createBodyPieces, minOwnPieceBytes} from './body-pieces.ts';
export type {BodyPieces, KeptPiece} from './body-pieces.ts';
export {createSliceQueue} from './slice-queue.ts';
export type {SliceQueue} from './slice-queue.ts';
export {createBoundedWriter} from './bounded-writer.ts';
export type {BoundedWriter} from './bounded-writer.ts';
export {trackCallerConnections} from './caller-connections.ts';
export type {CallerConnections, CallerExchange, StartResult} from './caller-connections.ts';
