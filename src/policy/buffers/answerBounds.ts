/**
 * Bounds what an endpoint may send beyond its answer: heads, framing of chunks,
 * comments and blank lines. None of it is limited by the bounds on bodies and events.
 */

/** What arrived on the connection of a call. */
export interface ReceivedBytes {
	/** All bytes that were read. */
	readBytes: number
	/** Those of them that are the body's. */
	bodyBytes: number
	/** Pieces in which the body arrived. */
	pieces: number
}

/** Holds an interim head for each that is permitted, and a head, of 16 KiB each. */
const maxFramingBytes = 256 * 1024
/**
 * Lines of events that come in a chunk each are longer, and each piece takes far more
 * time than its bytes.
 */
const minMeanPieceBytes = 4
/** Shorter answers may arrive in any pieces. */
const maxSmallPieces = 4096
/** Longest run of comments and blank lines, as sent to keep a connection open. */
const maxCommentBytes = 256 * 1024

/** Whether head and framing are more than an answer with such a body needs. */
export function hasExcessFraming(received: ReceivedBytes): boolean {
	const {readBytes, bodyBytes, pieces} = received
	const smallPieces = pieces - bodyBytes / minMeanPieceBytes
	const framingBytes = readBytes - bodyBytes
	return (
		smallPieces > maxSmallPieces || framingBytes > maxFramingBytes + bodyBytes
	)
}

/** Bytes of comments and blank lines since the last event of a stream. */
export class CommentRun {
	private bytes = 0

	/** Returns false if these are more than any endpoint needs between two events. */
	tryAdd(bytes: number): boolean {
		this.bytes += bytes
		return this.bytes <= maxCommentBytes
	}

	/** An event has arrived. */
	end(): void {
		this.bytes = 0
	}
}
