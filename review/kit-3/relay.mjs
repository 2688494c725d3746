/** A TCP relay on loopback that passes bytes on, or holds them without a word. */
import {connect, createServer} from "node:net"

export class Relay {
	constructor(target) {
		this.target = target
		this.isCut = false
		/** Time of the last answer to a watch, by kind. */
		this.answeredAt = new Map()
		this.sockets = new Set()
		this.server = createServer({allowHalfOpen: true}, near => {
			this.accept(near)
		})
	}

	listen(ip, port) {
		this.address = `${ip}:${port}`
		return new Promise((resolve, reject) => {
			this.server.once("error", reject)
			this.server.listen(port, ip, resolve)
		})
	}

	/** From now on nothing passes either way, and nobody is told. */
	cut() {
		this.isCut = true
		for (const socket of this.sockets) socket.pause()
	}

	/** Connections of before are reset; new ones pass. */
	heal() {
		this.isCut = false
		for (const socket of this.sockets) socket.destroy()
	}

	close() {
		this.server.close()
		for (const socket of this.sockets) socket.destroy()
	}

	accept(near) {
		const [host, port] = this.target.split(":")
		this.keep(near)
		if (this.isCut) {
			near.pause()
			return
		}
		const far = connect({host, port: Number(port), allowHalfOpen: true})
		this.keep(far)
		let kind
		near.on("data", chunk => {
			const watch = /^GET \/objects\/(\w+)\?watch=/.exec(
				chunk.toString("latin1")
			)
			kind = watch?.[1]
		})
		far.on("data", () => {
			if (kind !== undefined) this.answeredAt.set(kind, performance.now())
		})
		near.pipe(far)
		far.pipe(near)
		near.on("close", () => far.destroy())
		far.on("close", () => near.destroy())
	}

	keep(socket) {
		this.sockets.add(socket)
		socket.setNoDelay(true)
		socket.on("error", () => undefined)
		socket.on("close", () => this.sockets.delete(socket))
	}
}
