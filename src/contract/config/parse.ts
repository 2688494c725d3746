/** Parses the operator's files into one validated configuration. */
import type {z} from "zod"
import {ConfigError, type ConfigFault} from "./faults.js"
import {checkRules} from "./rules.js"
import {
	collectSections,
	listSections,
	parseItem,
	type SectionItem,
	type Sections,
	singleSections
} from "./sections.js"
import {
	type ConfigFile,
	createFault,
	readSource,
	type Source
} from "./source.js"
import {
	type ConfigObjective,
	type Configuration,
	type Pool,
	PoolType,
	type RetryBudgetRule,
	type Settings,
	type WeightStoreLimits
} from "./types.js"

const defaultObjective: ConfigObjective = {
	loadStalls: 0.5,
	batchEfficiency: 0.5
}
const defaultRetryBudget: RetryBudgetRule = {ratio: 0.1, minPerSecond: 1}
/** Used in deployments without engine pools, which never load weights. */
const noWeightStore: WeightStoreLimits = {
	loadsPerSecond: 0,
	inFlight: 0,
	loadMs: 0
}

/**
 * Parses and validates the files as one configuration.
 *
 * @throws ConfigError with the faults of all files
 */
export function parseConfiguration(
	files: readonly ConfigFile[]
): Configuration {
	const faults: ConfigFault[] = []
	const sources = files.map(file => readSource(file, faults))
	const hasSyntaxError = faults.length > 0
	const sections = collectSections(sources, faults)
	const configuration = buildConfiguration(sections, faults)
	// A file with a syntax error may hold declarations and sections that would
	// otherwise be reported as missing.
	if (!hasSyntaxError) {
		checkRules(sections, faults)
		checkRequiredSections(sections, sources, faults)
	}
	if (faults.length > 0) throw new ConfigError(sortFaults(files, faults))
	return configuration
}

function buildConfiguration(
	{lists, singles}: Sections,
	faults: ConfigFault[]
): Configuration {
	const parseList = <T>(
		items: readonly SectionItem[],
		schema: z.ZodType<T>
	): T[] => parseItems(items, schema, faults)
	const parseSingle = <T>(
		item: SectionItem | undefined,
		schema: z.ZodType<T>,
		fallback: T
	): T =>
		item === undefined
			? fallback
			: (parseItem(schema, item, faults) ?? fallback)
	const failureDomains = parseList(
		lists.failureDomains,
		listSections.failureDomains
	)
	const failureDomainNames = failureDomains.map(({name}) => name)
	const pools = parseList(lists.pools, listSections.pools)
	const settings: Settings = {
		deployment: parseSingle(singles.deployment, singleSections.deployment, ""),
		failureDomains,
		baseModels: parseList(lists.baseModels, listSections.baseModels),
		pools: pools.map(pool => fillFailureDomains(pool, failureDomainNames)),
		routes: parseList(lists.routes, listSections.routes),
		serviceLevels: parseList(lists.serviceLevels, listSections.serviceLevels),
		weightStore: parseSingle(
			singles.weightStore,
			singleSections.weightStore,
			noWeightStore
		),
		objective: parseSingle(
			singles.objective,
			singleSections.objective,
			defaultObjective
		),
		retryBudget: parseSingle(
			singles.retryBudget,
			singleSections.retryBudget,
			defaultRetryBudget
		),
		memberWeights: parseSingle(
			singles.memberWeights,
			singleSections.memberWeights,
			{}
		)
	}
	return {settings, adapters: parseList(lists.adapters, listSections.adapters)}
}

function parseItems<T>(
	items: readonly SectionItem[],
	schema: z.ZodType<T>,
	faults: ConfigFault[]
): T[] {
	const values: T[] = []
	for (const item of items) {
		const value = parseItem(schema, item, faults)
		if (value !== undefined) values.push(value)
	}
	return values
}

/** Gives a pool that names no failure domains all of them. */
function fillFailureDomains(pool: Pool, names: readonly string[]): Pool {
	if (pool.failureDomains.length > 0) return pool
	return {...pool, failureDomains: [...names]}
}

function checkRequiredSections(
	{lists, singles}: Sections,
	sources: readonly Source[],
	faults: ConfigFault[]
): void {
	const [source] = sources
	if (source === undefined) {
		const reason = "no configuration file was given"
		faults.push({file: "-", line: 1, path: "", reason})
		return
	}
	const requireSection = (isPresent: boolean, section: string): void => {
		if (isPresent) return
		faults.push(
			createFault(source, [section], "section is missing in all files")
		)
	}
	const hasEngines = lists.pools.some(
		({raw}) => (raw as Partial<Pool> | null)?.type === PoolType.Engines
	)
	requireSection(singles.deployment !== undefined, "deployment")
	requireSection(lists.failureDomains.length > 0, "failureDomains")
	requireSection(lists.pools.length > 0, "pools")
	requireSection(lists.routes.length > 0, "routes")
	requireSection(
		!hasEngines || singles.weightStore !== undefined,
		"weightStore"
	)
}

function sortFaults(
	files: readonly ConfigFile[],
	faults: readonly ConfigFault[]
): ConfigFault[] {
	const fileIndexes = new Map(files.map(({path}, index) => [path, index]))
	const fileIndexOf = ({file}: ConfigFault): number =>
		fileIndexes.get(file) ?? 0
	return [...faults].sort(
		(a, b) => fileIndexOf(a) - fileIndexOf(b) || a.line - b.line
	)
}
