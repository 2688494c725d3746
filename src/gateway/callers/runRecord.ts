/**
 * Whether one request may have run, by its calls to endpoints. A call counts from the
 * moment before its first byte is written; only a statement of the endpoint that it did
 * not run the request takes it back.
 */
export class RunRecord {
	private calls = 0

	get mayHaveRun(): boolean {
		return this.calls > 0
	}

	addCall(): void {
		this.calls += 1
	}

	removeCall(): void {
		this.calls -= 1
	}
}
