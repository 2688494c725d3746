export * from "./answerLedger.js"
export * from "./answerBounds.js"
export * from "./answerTurns.js"
export * from "./bufferLedger.js"
