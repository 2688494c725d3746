export * from "./endpointTask.js"
export * from "./settings.js"
