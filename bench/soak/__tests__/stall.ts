const stallMs = 150

/**
 * Delays each turn of the event loop of this process, without using the processor,
 * until the returned function is called.
 */
export function stallEventLoop(): () => void {
	let isStalling = true
	const cell = new Int32Array(new SharedArrayBuffer(4))
	const stall = (): void => {
		if (!isStalling) return
		Atomics.wait(cell, 0, 0, stallMs)
		setImmediate(stall)
	}
	stall()
	return () => {
		isStalling = false
	}
}
