package assign

// EngineCapacity is the nominal work of one engine, in prompt tokens a second as of Work.
const EngineCapacity = engineCapacity
