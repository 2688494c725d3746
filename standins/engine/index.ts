export * from "./engine.js"
export {expectedText} from "./text.js"
