/**
 * Which builds may go on with one stream. What engines of two builds generate does
 * not fit together, and engines don't check it.
 */
export class StreamBinding {
	private isBound = false
	private build: string | undefined

	/** Whether the build that sent the first event is known. */
	get isKnown(): boolean {
		return this.build !== undefined
	}

	/**
	 * Binds the stream to the build that sent its first event. While that build is
	 * unknown, no other engine may go on. Once it is known, calls change nothing.
	 */
	bind(build: string | undefined): void {
		this.isBound = true
		this.build ??= build
	}

	permits(build: string | undefined): boolean {
		return !this.isBound || (build !== undefined && build === this.build)
	}
}
