export * from "./entryTask.js"
export * from "./identity.js"
export * from "./settings.js"
