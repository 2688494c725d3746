/** Zod schemas of the sections of configuration files, with defaults. */
import {z} from "zod"
import {RequestClass} from "../../policy/types.js"
import {
	type Adapter,
	type BaseModel,
	type ConfigObjective,
	type FailureDomain,
	KeyRule,
	type Pool,
	PoolType,
	type RetryBudgetRule,
	type Route,
	type ServiceLevel,
	type WeightStoreLimits
} from "./types.js"

const maxNameChars = 128
const maxPathChars = 512
const maxSeatsOrSlots = 4096
const largestMaxAttempts = 10
const maxDurationMs = 7 * 24 * 3600 * 1000
const defaultSeats = 8
const defaultSlots = 8
const defaultMsPerToken = 20
const defaultCallMs = 50
const defaultMaxDeadlineMs = 60_000
const defaultMaxAttempts = 2

const name = z
	.string({error: "expected a name as text (quote numbers)"})
	.max(maxNameChars)
	.regex(
		/^[a-z0-9][a-z0-9._-]*$/i,
		"expected letters, digits, '.', '_' or '-', beginning with a letter or digit"
	)
const durationMsSchema = z.number().positive().max(maxDurationMs)
const ratioSchema = z.number().min(0).max(1)

/** Request classes by their name in the files. */
export const requestClasses: Readonly<Record<string, RequestClass>> = {
	status: RequestClass.Status,
	booking: RequestClass.Booking,
	interactive: RequestClass.Interactive,
	deferrable: RequestClass.Deferrable
}

export const deploymentSchema: z.ZodType<string> = name

export const failureDomainSchema: z.ZodType<FailureDomain> = z
	.strictObject({name, region: name.optional()})
	.transform(({name, region}) => ({name, region: region ?? name}))

/** Accepts `loom-7b` as short form of `{name: loom-7b}`. */
export const baseModelSchema: z.ZodType<BaseModel> = z
	.preprocess(
		raw => (typeof raw === "string" ? {name: raw} : raw),
		z.strictObject({name})
	)
	.transform(({name}) => ({name}))

const poolShape = z.strictObject({
	name,
	type: z.enum(["engines", "service"]),
	baseModel: name.optional(),
	slots: z.int().min(0).max(maxSeatsOrSlots).optional(),
	seats: z.int().positive().max(maxSeatsOrSlots).default(defaultSeats),
	checksOrders: z.boolean().default(false),
	failureDomains: z.array(name).optional(),
	msPerToken: durationMsSchema.optional(),
	callMs: durationMsSchema.optional()
})

// The lint rule does not recognise the enum type in a transform's output.
// eslint-disable-next-line @typescript-eslint/no-unsafe-enum-assignment
export const poolSchema: z.ZodType<Pool> = poolShape.transform(buildPool)

function buildPool(pool: z.output<typeof poolShape>): Pool {
	const isEngines = pool.type === "engines"
	return {
		name: pool.name,
		type: isEngines ? PoolType.Engines : PoolType.Service,
		baseModel: pool.baseModel ?? "",
		slots: isEngines ? (pool.slots ?? defaultSlots) : 0,
		seats: pool.seats,
		checksOrders: pool.checksOrders,
		failureDomains: pool.failureDomains ?? [],
		msPerToken: isEngines ? (pool.msPerToken ?? defaultMsPerToken) : 0,
		callMs: isEngines ? 0 : (pool.callMs ?? defaultCallMs)
	}
}

const methods = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"] as const
const safeMethods = new Set(["GET", "HEAD"])

/** Path pattern of a service route, such as `/orders/:id`. */
const path = z
	.string()
	.max(maxPathChars)
	.regex(
		/^(?:\/(?::[a-z]\w*|[\w.~-]+))+$/i,
		"expected a path such as /orders/:id"
	)

/**
 * Default of a route's `idempotent`: true for GET, HEAD and no method. PUT and
 * DELETE count as idempotent only if the route says so.
 */
export function isIdempotentByDefault(method: unknown): boolean {
	if (method === undefined) return true
	return typeof method === "string" && safeMethods.has(method)
}

export const routeSchema: z.ZodType<Route> = z
	.strictObject({
		name,
		pool: name,
		method: z.enum(methods).optional(),
		path: path.optional(),
		class: z.enum(Object.keys(requestClasses)).optional(),
		idempotent: z.boolean().optional(),
		maxAttempts: z.int().min(1).max(largestMaxAttempts).optional(),
		key: z.enum(KeyRule).optional(),
		coalesce: z.boolean().default(false),
		maxDeadlineMs: durationMsSchema.default(defaultMaxDeadlineMs)
	})
	.transform((route): Route => {
		const idempotent = route.idempotent ?? isIdempotentByDefault(route.method)
		const defaultKey = idempotent ? KeyRule.None : KeyRule.Required
		return {
			name: route.name,
			pool: route.pool,
			method: route.method ?? "",
			path: route.path ?? "",
			class:
				requestClasses[route.class ?? ""] ?? chooseDefaultClass(route.method),
			idempotent,
			maxAttempts: route.maxAttempts ?? (idempotent ? defaultMaxAttempts : 1),
			key: route.key ?? defaultKey,
			coalesce: route.coalesce,
			maxDeadlineMs: route.maxDeadlineMs
		}
	})

function chooseDefaultClass(method: string | undefined): RequestClass {
	if (method === undefined) return RequestClass.Interactive
	return safeMethods.has(method) ? RequestClass.Status : RequestClass.Booking
}

export const serviceLevelSchema: z.ZodType<ServiceLevel> = z.strictObject({
	name,
	routes: z.array(name).min(1, "expected at least one route"),
	target: z
		.number()
		.gt(0, "expected a share above 0 and below 1, such as 0.999")
		.lt(1, "expected a share above 0 and below 1, such as 0.999"),
	windowMs: durationMsSchema
})

export const weightStoreSchema: z.ZodType<WeightStoreLimits> = z.strictObject({
	loadsPerSecond: z.number().positive(),
	inFlight: z.int().positive(),
	loadMs: durationMsSchema
})

export const objectiveSchema: z.ZodType<ConfigObjective> = z.strictObject({
	loadStalls: ratioSchema,
	batchEfficiency: ratioSchema
})

export const retryBudgetSchema: z.ZodType<RetryBudgetRule> = z.strictObject({
	ratio: ratioSchema.default(0.1),
	minPerSecond: z.number().min(0).default(1)
})

export const memberWeightsSchema: z.ZodType<Record<string, number>> = z.record(
	z.string(),
	z.number().positive()
)

export const adapterSchema: z.ZodType<Adapter> = z.strictObject({
	base: name,
	name,
	versions: z
		.array(
			z.strictObject({
				version: name,
				source: z.string().min(1).max(maxPathChars)
			})
		)
		.min(1, "expected at least one version")
})
