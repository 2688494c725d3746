export * from "./configStore.js"
export * from "./fetch.js"
export * from "./spreadTask.js"
