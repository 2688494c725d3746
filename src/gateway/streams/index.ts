export * from "./buildRecorder.js"
export * from "./buildStore.js"
export * from "./streamDirectory.js"
export * from "./streamResumption.js"
