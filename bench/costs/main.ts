/**
 * Compares rules of choosing an engine on the loads of `loads.ts`, and prints how the
 * predicted output compares with the seen one.
 *
 *     node dist/bench/costs/main.js [SEED ...]
 */
import {
	createHotAdapterLoad,
	createPacesLoad,
	createTwoSizesLoad,
	createWavesLoad
} from "./loads.js"
import {type FleetResult, playFleet, Rule} from "./simFleet.js"

const loads = {
	"two sizes": createTwoSizesLoad,
	paces: createPacesLoad,
	waves: createWavesLoad,
	"hot adapter": createHotAdapterLoad
}
const deciles = 10

const seeds = process.argv.slice(2).map(Number)
const played: FleetResult["predictions"] = []
for (const [name, create] of Object.entries(loads)) {
	for (const seed of seeds.length === 0 ? [1] : seeds) {
		const load = create(seed)
		for (const rule of Object.values(Rule)) {
			const result = playFleet(load, rule, seed)
			if (rule === Rule.Predicted) played.push(...result.predictions)
			console.log(
				`| ${name} | ${seed} | ${rule} | ${load.requests.length} | ` +
					`${(result.inTime * 100).toFixed(1)}% | ${result.refused} | ` +
					`${Math.round(result.p95FirstEventMs)} | ${result.storeLoads} | ` +
					`${result.crossings} | ${result.granted.join(" ")} |`
			)
		}
	}
}
for (const isHinted of [true, false]) {
	const own = played.filter(item => item.isHinted === isHinted)
	own.sort((a, b) => a.predicted - b.predicted)
	for (let n = 0; n < deciles; n++) {
		const part = own.slice(
			Math.floor((own.length * n) / deciles),
			Math.floor((own.length * (n + 1)) / deciles)
		)
		const predicted = getMean(part.map(item => item.predicted))
		const seen = getMean(part.map(item => item.seen))
		console.log(
			`| ${isHinted ? "hint" : "no hint"} | ${n + 1} | ${part.length} | ` +
				`${predicted.toFixed(1)} | ${seen.toFixed(1)} |`
		)
	}
}

function getMean(values: readonly number[]): number {
	return values.reduce((a, b) => a + b, 0) / Math.max(1, values.length)
}
