/** Readiness of the entries, as a balancer in front of them sees it. */
import {isOk} from "../deployment/index.js"

const pollMs = 250

export class Balancer {
	private readonly unready = new Set<string>()
	private readonly timer: NodeJS.Timeout

	constructor(private readonly entryUrls: readonly string[]) {
		this.timer = setInterval(() => {
			for (const url of this.entryUrls) void this.poll(url)
		}, pollMs)
	}

	isReady(url: string): boolean {
		return !this.unready.has(url)
	}

	close(): void {
		clearInterval(this.timer)
	}

	private async poll(url: string): Promise<void> {
		if (await isOk(`${url}/readyz`)) this.unready.delete(url)
		else this.unready.add(url)
	}
}
