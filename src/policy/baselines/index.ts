export * from "./fifoScheduler.js"
export * from "./leastLoadedRouter.js"
export * from "./staticHashRouter.js"
