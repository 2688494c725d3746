export * from "./fifoScheduler.js"
export * from "./fixedLoadShares.js"
export * from "./leastLoadedRouter.js"
export * from "./staticHashRouter.js"
