/**
 * Whether one request may have run, by its calls to endpoints. A call counts from the
 * moment before its first byte is written; only a statement of the endpoint that it did
 * not run the request takes it back.
 */
export class RunRecord {
	private calls = 0
	private isClosed = false

	get mayHaveRun(): boolean {
		return this.calls > 0
	}

	/** Returns false if the request must not be sent, since its caller was refused. */
	tryAddCall(): boolean {
		if (this.isClosed) return false
		this.calls += 1
		return true
	}

	removeCall(): void {
		this.calls -= 1
	}

	/** Called when the caller is told that the request has not run and never will. */
	close(): void {
		this.isClosed = true
	}
}
