import {beforeEach, describe, expect, it} from "vitest"
import {BurnCause, hourMs, minuteMs} from "../../policy/burn.js"
import {AlertSeverity} from "../../policy/burnAlerts.js"
import {BurnRecorder} from "../burnRecorder.js"
import {renderBurnHtml} from "../burnHtml.js"
import {renderBurnText} from "../burnText.js"
import {readBurnReport} from "../readBurn.js"
import {MemoryPlatform} from "./memoryPlatform.js"

const start = 490_000 * hourMs
const serviceLevels = [
	{name: "drafts", routes: ["draft"], target: 0.99, windowMs: 20_000},
	{name: "bookings", routes: ["booking"], target: 0.999, windowMs: 5000}
]

let platform: MemoryPlatform

beforeEach(async () => {
	platform = new MemoryPlatform()
	const settings = {deployment: "bc-coast", serviceLevels}
	await platform.write("config", "root", {settings}, 0)
	for (const entryId of ["e1", "e2"]) {
		const options = {entryId, incarnation: 1, serviceLevels, clock: () => start}
		const recorder = new BurnRecorder(options)
		const at = start + minuteMs
		const common = {cause: BurnCause.LoadStall, at}
		for (let i = 0; i < 5; i++) {
			recorder.record({...common, route: "draft", member: "club", good: true})
			recorder.record({...common, route: "draft", member: "<b>", good: false})
			recorder.record({...common, route: "booking", member: "club", good: true})
		}
		await recorder.flush(platform)
	}
	await platform.write("burn", "490000.broken", {}, 0)
})

const at = start + 2 * minuteMs

describe("burn report", () => {
	it("sums the counts of all entries by service level and Member", async () => {
		const report = await readBurnReport({platform, at})
		expect(report.recorders).toBe(2)
		expect(report.skipped).toBe(1)
		const [drafts, bookings] = report.levels
		expect(drafts?.total).toMatchObject({
			good: 10,
			bad: 10,
			severity: AlertSeverity.Page,
			leadingCause: BurnCause.LoadStall
		})
		expect(drafts?.members.map(one => one.member)).toEqual(["<b>", "club"])
		expect(drafts?.points).toHaveLength(72)
		expect(drafts?.points.at(-1)?.bad).toBe(10)
		expect(bookings?.total).toMatchObject({
			good: 10,
			severity: AlertSeverity.None
		})
	})

	it("filters by service level, Member and time", async () => {
		const filter = {serviceLevel: "drafts", member: "club"}
		const {levels} = await readBurnReport({platform, at, ...filter})
		expect(levels).toHaveLength(1)
		expect(levels[0]?.total).toMatchObject({good: 10, bad: 0})
		const early = await readBurnReport({platform, at: start - minuteMs})
		expect(early.levels[0]?.total.bad).toBe(0)
	})

	it("rejects an unknown service level and lists the configured ones", async () => {
		const read = readBurnReport({platform, at, serviceLevel: "draft"})
		await expect(read).rejects.toThrow(
			'service level "draft" does not exist (there are: drafts, bookings)'
		)
	})

	it("rejects when the platform is down, instead of reporting no burn", async () => {
		platform.isDown = true
		await expect(readBurnReport({platform, at})).rejects.toThrow("is down")
	})

	it("renders a text table with the alert and the leading cause", async () => {
		const text = renderBurnText(await readBurnReport({platform, at}))
		expect(text).toMatch(
			/all +PAGE +10 +10 +50\.00% +50\.0 .* spent +loadStall/
		)
		expect(text).toMatch(/<b> +PAGE +0 +10/)
		expect(text).toContain("warning: 1 stored objects could not be parsed")
	})

	it("renders an HTML page that loads no resources and escapes names", async () => {
		const html = renderBurnHtml(await readBurnReport({platform, at}))
		expect(html).toContain("&lt;b&gt;")
		expect(html).not.toContain("<b>")
		expect(html).not.toMatch(/src=|href=|url\(/)
		expect(html.match(/<svg/g)).toHaveLength(4)
		expect(html).not.toMatch(/NaN|Infinity|undefined/)
	})
})
