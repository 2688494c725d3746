/** An in-memory entry with the calls that the operator command makes. */
import {create, type MessageInitShape} from "@bufbuild/protobuf"
import {
	type ConfigParts,
	type ConfigRoot,
	encodeStored
} from "../../contract/config/index.js"
import {
	type Ack,
	AckSchema,
	ConfigOfferSchema,
	ConfigRequestSchema,
	type ConfigResponse,
	ConfigResponseSchema,
	DrainRequestSchema,
	type HostStatusSchema,
	type StatusResponse,
	StatusResponseSchema
} from "../../contract/gen/link_pb.js"
import {ProcessLink} from "../processLink.js"
import {Output} from "../output.js"

type HostStatusInit = MessageInitShape<typeof HostStatusSchema>

export class FakeEntry extends ProcessLink {
	/** While true, every call rejects. */
	isDown = false
	root: ConfigRoot | undefined
	parts: ConfigParts = new Map()
	hostStatuses: HostStatusInit[] = []
	readonly offers: MessageInitShape<typeof ConfigOfferSchema>[] = []
	readonly drained: MessageInitShape<typeof DrainRequestSchema>[] = []

	constructor(
		readonly address: string,
		readonly self: HostStatusInit = {}
	) {
		super()
	}

	async config(
		req: MessageInitShape<typeof ConfigRequestSchema>
	): Promise<ConfigResponse> {
		await this.failIfDown()
		const wanted = new Set(req.parts)
		const found = [...this.parts].filter(([hash]) => wanted.has(hash))
		return create(ConfigResponseSchema, {
			root:
				this.root === undefined ? new Uint8Array() : encodeStored(this.root),
			parts: found.map(([hash, part]) => ({hash, content: encodeStored(part)}))
		})
	}

	async offer(msg: MessageInitShape<typeof ConfigOfferSchema>): Promise<Ack> {
		await this.failIfDown()
		this.offers.push(msg)
		return create(AckSchema, {generation: msg.generation ?? 0})
	}

	async drain(req: MessageInitShape<typeof DrainRequestSchema>): Promise<Ack> {
		await this.failIfDown()
		this.drained.push(req)
		return create(AckSchema, {})
	}

	async status(): Promise<StatusResponse> {
		await this.failIfDown()
		return create(StatusResponseSchema, {
			self: this.self,
			hosts: this.hostStatuses
		})
	}

	close(): void {
		this.isDown = true
	}

	private failIfDown(): Promise<void> {
		if (!this.isDown) return Promise.resolve()
		return Promise.reject(new Error("connection refused"))
	}
}

/** Records what a command prints. */
export class MemoryOutput extends Output {
	readonly printed: string[] = []
	readonly errors: string[] = []

	line(text: string): void {
		this.printed.push(text)
	}

	error(text: string): void {
		this.errors.push(text)
	}
}
